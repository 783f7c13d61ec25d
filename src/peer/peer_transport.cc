#include "include/peer/peer_transport.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <set>
#include <utility>

#include "include/peer/envelope.h"
#include "src/peer/peer_link.h"
#include "src/peer/peer_session.h"
#include "src/peer/transport_counters.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Delay before accepting again after an error, such as no free descriptors.
constexpr std::chrono::milliseconds kAcceptPause{100};

}  // namespace

class PeerTransport::Impl
    : public std::enable_shared_from_this<PeerTransport::Impl> {
 public:
  Impl(asio::io_context& context, PeerTransportOptions options)
      : options_(std::move(options)),
        strand_(asio::make_strand(context)),
        acceptor_(strand_),
        pause_(strand_) {}

  void Start(MessageHook on_message) {
    on_message_ = std::move(on_message);
    const tcp::endpoint address(asio::ip::make_address(options_.listen.ip),
                                options_.listen.port);
    acceptor_.open(address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(address);
    acceptor_.listen();
    const tcp::endpoint bound = acceptor_.local_endpoint();
    listen_address_ = {bound.address().to_string(), bound.port()};
    asio::post(strand_, [self = shared_from_this()] { self->Accept(); });
  }

  void Stop(std::function<void()> on_stopped) {
    asio::dispatch(strand_, [self = shared_from_this(),
                             on_stopped = std::move(on_stopped)] {
      self->stopped_ = true;
      boost::system::error_code ec;
      self->acceptor_.close(ec);
      self->pause_.cancel();
      for (const auto& [host, link] : self->links_)
        link->Close();
      self->links_.clear();
      for (const auto& it : self->sessions_)
        it->Close();
      if (on_stopped)
        on_stopped();
    });
  }

  const Endpoint& listen_address() const { return listen_address_; }

  void SetPeers(std::map<HostId, Endpoint> peers) {
    asio::post(strand_,
               [self = shared_from_this(), peers = std::move(peers)]() mutable {
                 self->peers_ = std::move(peers);
                 self->DropStaleLinks();
               });
  }

  void Send(const OutgoingMessage& out) {
    auto body = std::make_shared<const std::string>(
        EncodeEnvelope(options_.self, out.message));
    asio::post(strand_, [self = shared_from_this(), to = out.to,
                         body = std::move(body)] {
      for (const HostId& it : to)
        self->SendTo(it, body);
    });
  }

  PeerTransportStats stats() const { return counters_->Read(); }

 private:
  void Accept() {
    acceptor_.async_accept(
        strand_, [self = shared_from_this()](boost::system::error_code ec,
                                             tcp::socket socket) {
          self->OnAccepted(ec, std::move(socket));
        });
  }

  void OnAccepted(boost::system::error_code ec, tcp::socket socket) {
    if (stopped_ || !acceptor_.is_open())
      return;
    if (ec) {
      pause_.expires_after(kAcceptPause);
      pause_.async_wait([self = shared_from_this()](auto wait_ec) {
        if (!wait_ec)
          self->Accept();
      });
      return;
    }
    if (sessions_.size() < options_.max_accepted)
      StartSession(std::move(socket));
    Accept();
  }

  void StartSession(tcp::socket socket) {
    const auto session = std::make_shared<PeerSession>(
        std::move(socket), options_, counters_,
        [self = shared_from_this()](const PeerSender& from,
                                    const PeerMessage& message) {
          if (!self->stopped_)
            self->on_message_(from, message);
        });
    sessions_.insert(session);
    session->Start([self = shared_from_this(), key = std::weak_ptr(session)] {
      self->sessions_.erase(key.lock());
    });
  }

  void SendTo(const HostId& host, std::shared_ptr<const std::string> body) {
    const auto peer = peers_.find(host);
    if (stopped_ || peer == peers_.end()) {
      ++counters_->dropped_messages;
      return;
    }
    auto& link = links_[host];
    if (!link) {
      link = std::make_shared<PeerLink>(strand_, options_, peer->second,
                                        counters_);
      link->Start();
    }
    link->Send(std::move(body));
  }

  void DropStaleLinks() {
    std::erase_if(links_, [&](const auto& item) {
      const auto peer = peers_.find(item.first);
      const bool stale =
          peer == peers_.end() || peer->second != item.second->peer();
      if (stale)
        item.second->Close();
      return stale;
    });
  }

  const PeerTransportOptions options_;
  PeerStrand strand_;
  tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  Endpoint listen_address_;
  MessageHook on_message_;
  std::map<HostId, Endpoint> peers_;
  std::map<HostId, std::shared_ptr<PeerLink>> links_;
  std::set<std::shared_ptr<PeerSession>> sessions_;
  const std::shared_ptr<TransportCounters> counters_ =
      std::make_shared<TransportCounters>();
  bool stopped_ = false;
};

PeerTransport::PeerTransport(asio::io_context& context,
                             PeerTransportOptions options)
    : impl_(std::make_shared<Impl>(context, std::move(options))) {}

PeerTransport::~PeerTransport() {
  impl_->Stop({});
}

void PeerTransport::Start(MessageHook on_message) {
  impl_->Start(std::move(on_message));
}

void PeerTransport::Stop(std::function<void()> on_stopped) {
  impl_->Stop(std::move(on_stopped));
}

Endpoint PeerTransport::listen_address() const {
  return impl_->listen_address();
}

void PeerTransport::SetPeers(std::map<HostId, Endpoint> peers) {
  impl_->SetPeers(std::move(peers));
}

void PeerTransport::Send(const OutgoingMessage& out) {
  impl_->Send(out);
}

PeerTransportStats PeerTransport::stats() const {
  return impl_->stats();
}

}  // namespace toucanknot
