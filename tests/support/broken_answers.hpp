#ifndef BAMBOOGATE_TESTS_SUPPORT_BROKEN_ANSWERS_HPP
#define BAMBOOGATE_TESTS_SUPPORT_BROKEN_ANSWERS_HPP

#include <string>
#include <vector>

namespace bamboogate::tests {

/// Bytes that no client may take for an answer, sent before the end of their
/// connection.
struct broken_answer
{
    std::string name;
    std::string bytes;
};

[[nodiscard]] inline std::vector<broken_answer> broken_answers()
{
    const std::string length = "Content-Length: 2\r\n\r\nab";
    const std::string good = "HTTP/1.1 200 OK\r\n";
    return {
        {"status 000", "HTTP/1.1 000 Odd\r\n" + length},
        {"status 099", "HTTP/1.1 099 Odd\r\n" + length},
        {"status 600", "HTTP/1.1 600 Odd\r\n" + length},
        {"status 999", "HTTP/1.1 999 Odd\r\n" + length},
        {"status of two digits", "HTTP/1.1 20 Odd\r\n" + length},
        {"status of four digits", "HTTP/1.1 2000 Odd\r\n" + length},
        {"blank in a name", good + "X Odd: a\r\n" + length},
        {"tab in a name", good + "X\tOdd: a\r\n" + length},
        {"blank after a name", good + "X-Odd : a\r\n" + length},
        {"control byte in a name", good + "X\x01Odd: a\r\n" + length},
        {"delete byte in a name", good + "X\x7fOdd: a\r\n" + length},
        {"NUL in a name", good + std::string("X\0Odd: a\r\n", 10) + length},
        {"no name", good + ": a\r\n" + length},
        {"blanks instead of a field", good + "  \r\n" + length},
        {"no colon", good + "X-Odd\r\n" + length},
        {"control byte in a value", good + "X-Odd: a\x01\r\n" + length},
        {"NUL in a value", good + std::string("X-Odd: a\0\r\n", 11) + length},
        {"blank after the name of the length",
         good + "Content-Length : 1\r\n" + length},
        {"two lengths", good + "Content-Length: 1\r\n" + length},
        {"length that is no number", good + "Content-Length: 1x\r\n\r\nab"},
        {"negative length", good + "Content-Length: -1\r\n\r\nab"},
        {"coding gzip", good + "Transfer-Encoding: gzip\r\n" + length},
        {"codings gzip and chunked",
         good + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"},
        {"coding after chunked",
         good + "Transfer-Encoding: chunked, gzip\r\n\r\n2\r\nab\r\n0\r\n\r\n"},
        {"empty coding", good + "Transfer-Encoding:\r\n" + length},
        {"length and chunks", good + "Transfer-Encoding: chunked\r\n"
                                     "Content-Length: 2\r\n\r\n"
                                     "2\r\nab\r\n0\r\n\r\n"},
        {"bad chunk size",
         good + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n"},
        {"no HTTP", "\x01\x02\r\n\r\n"},
    };
}

} // namespace bamboogate::tests

#endif
