set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

option(BAMBOOGATE_SANITIZE "Build with AddressSanitizer and UBSan" OFF)
# The optimised build of a deployment reports values in library headers as
# uninitialized that the plain build shows to be set, so it sets this to OFF.
option(BAMBOOGATE_WARNINGS_AS_ERRORS "Treat warnings as errors" ON)
add_compile_options(-Wall -Wextra -Wno-missing-field-initializers)
if(BAMBOOGATE_WARNINGS_AS_ERRORS)
    add_compile_options(-Werror)
endif()
if(BAMBOOGATE_SANITIZE)
    add_compile_options(-fsanitize=address,undefined
        -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    # With the additional branches of the sanitizers, g++ 12 reports values in
    # library headers as uninitialized that the plain build shows to be set.
    add_compile_options(-Wno-maybe-uninitialized)
    add_link_options(-fsanitize=address,undefined)
endif()

find_program(BAMBOOGATE_CCACHE ccache)
if(BAMBOOGATE_CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER "${BAMBOOGATE_CCACHE}")
endif()
