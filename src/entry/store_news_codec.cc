#include "src/entry/store_news_codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "src/peer/gen/peer_types.h"

namespace toucanknot {
namespace {

using apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<
    apache::thrift::transport::TMemoryBuffer>;

// Ages of knowledge; higher values are clamped.
constexpr Duration kMaxAge{3'600'000};

}  // namespace

std::string EncodeStoreNews(const StoreNews& news) {
  wire::StoreNews out;
  out.__set_host(news.host.str());
  out.__set_incarnation(static_cast<int64_t>(news.incarnation));
  out.__set_before(static_cast<int64_t>(news.before));
  out.__set_revision(static_cast<int64_t>(news.revision));
  if (news.era != 0)
    out.__set_era(static_cast<int64_t>(news.era));
  if (news.age) {
    out.__set_age_ms(
        static_cast<int32_t>(std::clamp(*news.age, Duration(0), kMaxAge).ms()));
  }
  if (news.lost)
    out.__set_lost(true);
  if (!news.changes.empty()) {
    for (const StoreChange& it : news.changes) {
      out.keys.push_back(it.key);
      out.revisions.push_back(static_cast<int64_t>(it.revision));
      out.removed.push_back(it.removed);
      out.values.push_back(it.value.value_or(""));
      out.valued.push_back(it.value.has_value());
    }
    out.__isset.keys = out.__isset.revisions = out.__isset.removed =
        out.__isset.values = out.__isset.valued = true;
  }
  wire::LoadSheet envelope;
  envelope.__set_store_news(out);
  const auto buf = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buf);
  envelope.write(&protocol);
  return buf->getBufferAsString();
}

std::optional<StoreNews> DecodeStoreNews(std::string_view bytes) {
  wire::LoadSheet envelope;
  try {
    std::string copy(bytes);
    const auto buf =
        std::make_shared<TMemoryBuffer>(reinterpret_cast<uint8_t*>(copy.data()),
                                        static_cast<uint32_t>(copy.size()));
    // No list in a datagram can be longer than the datagram.
    const auto limit = static_cast<int32_t>(bytes.size());
    Protocol protocol(buf, limit, limit);
    envelope.read(&protocol);
  } catch (const apache::thrift::TException&) {
    return std::nullopt;
  }
  wire::StoreNews& in = envelope.store_news;
  const size_t n = in.keys.size();
  if (!envelope.__isset.store_news || !in.__isset.host ||
      in.revisions.size() != n || in.removed.size() != n ||
      in.values.size() != n || in.valued.size() != n || in.before < 0 ||
      in.revision < in.before || in.era < 0) {
    return std::nullopt;
  }
  StoreNews news;
  news.host = HostId(in.host);
  news.incarnation = static_cast<Incarnation>(in.incarnation);
  news.before = static_cast<uint64_t>(in.before);
  news.revision = static_cast<uint64_t>(in.revision);
  if (in.__isset.era)
    news.era = static_cast<uint64_t>(in.era);
  if (in.__isset.age_ms)
    news.age = std::clamp(Duration(in.age_ms), Duration(0), kMaxAge);
  news.lost = in.lost;
  for (size_t i = 0; i < n; ++i) {
    if (in.revisions[i] < 0)
      return std::nullopt;
    StoreChange change;
    change.key = std::move(in.keys[i]);
    change.revision = static_cast<uint64_t>(in.revisions[i]);
    change.removed = in.removed[i];
    if (in.valued[i] && !change.removed)
      change.value = std::move(in.values[i]);
    news.changes.push_back(std::move(change));
  }
  return news;
}

}  // namespace toucanknot
