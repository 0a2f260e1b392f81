#include <bamboogate/net/websocket_codec.hpp>

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include <string>
#include <utility>

namespace bamboogate::net {

namespace {

/// websocketpp's core configuration without locks and log output.
template <typename Base>
struct codec_config : Base
{
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;

    struct transport_config : Base::transport_config
    {
        using concurrency_type = websocketpp::concurrency::none;
        using elog_type = websocketpp::log::stub;
        using alog_type = websocketpp::log::stub;
    };
    using transport_type =
        websocketpp::transport::iostream::endpoint<transport_config>;
};

using server_endpoint =
    websocketpp::server<codec_config<websocketpp::config::core>>;
using client_endpoint =
    websocketpp::client<codec_config<websocketpp::config::core_client>>;

/// Interface of a codec that does not depend on its role.
struct codec_side
{
    virtual ~codec_side() = default;
    virtual void start() = 0;
    virtual void receive(std::string_view bytes) = 0;
    virtual bool send(std::string_view message) = 0;
};

template <typename Endpoint>
class endpoint_side : public codec_side
{
public:
    endpoint_side(websocket_codec::callbacks& handlers, std::size_t max_bytes)
        : handlers_(handlers), max_bytes_(max_bytes)
    {}

    ~endpoint_side() override
    {
        if (!connection_) {
            return;
        }
        connection_->set_write_handler(nullptr);
        connection_->set_open_handler(nullptr);
        connection_->set_message_handler(nullptr);
        connection_->set_close_handler(nullptr);
        connection_->set_fail_handler(nullptr);
    }

    void start() override
    {
        if constexpr (std::is_same_v<Endpoint, client_endpoint>) {
            websocketpp::lib::error_code problem;
            connection_ =
                endpoint_.get_connection("ws://bamboogate/link", problem);
            wire_handlers();
            endpoint_.connect(connection_);
        } else {
            connection_ = endpoint_.get_connection();
            wire_handlers();
            connection_->start();
        }
    }

    void receive(std::string_view bytes) override
    {
        // A handler may drop the last other reference to the connection.
        auto keep = connection_;
        keep->read_all(bytes.data(), bytes.size());
    }

    bool send(std::string_view message) override
    {
        return connection_ &&
               !connection_->send(message.data(), message.size(),
                                  websocketpp::frame::opcode::binary);
    }

private:
    void wire_handlers()
    {
        connection_->set_max_message_size(max_bytes_);
        connection_->set_write_handler([this](websocketpp::connection_hdl,
                                              const char* data,
                                              std::size_t size) {
            handlers_.on_output({data, size});
            return websocketpp::lib::error_code();
        });
        connection_->set_open_handler(
            [this](websocketpp::connection_hdl) { handlers_.on_open(); });
        connection_->set_message_handler(
            [this](websocketpp::connection_hdl,
                   typename Endpoint::message_ptr message) {
                handlers_.on_message(message->get_payload());
            });
        const auto closed = [this](websocketpp::connection_hdl) {
            handlers_.on_close();
        };
        connection_->set_close_handler(closed);
        connection_->set_fail_handler(closed);
    }

    websocket_codec::callbacks& handlers_;
    std::size_t max_bytes_;
    Endpoint endpoint_;
    typename Endpoint::connection_ptr connection_;
};

} // namespace

struct websocket_codec::impl
{
    callbacks handlers;
    std::unique_ptr<codec_side> side;
};

websocket_codec::websocket_codec(const options& settings, callbacks handlers)
    : impl_(std::make_unique<impl>())
{
    impl_->handlers = std::move(handlers);
    if (settings.side == role::client) {
        impl_->side = std::make_unique<endpoint_side<client_endpoint>>(
            impl_->handlers, settings.max_message_bytes);
    } else {
        impl_->side = std::make_unique<endpoint_side<server_endpoint>>(
            impl_->handlers, settings.max_message_bytes);
    }
}

websocket_codec::~websocket_codec() = default;

void websocket_codec::start()
{
    impl_->side->start();
}

void websocket_codec::receive(std::string_view bytes)
{
    impl_->side->receive(bytes);
}

bool websocket_codec::send(std::string_view message)
{
    return impl_->side->send(message);
}

} // namespace bamboogate::net
