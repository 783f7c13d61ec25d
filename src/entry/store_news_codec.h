#ifndef SRC_ENTRY_STORE_NEWS_CODEC_H_
#define SRC_ENTRY_STORE_NEWS_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "include/entry/store_news.h"

namespace toucanknot {

// Encodes news of the store as the payload of one datagram.
std::string EncodeStoreNews(const StoreNews& news);
// Returns nothing when `bytes` are not valid news of the store.
std::optional<StoreNews> DecodeStoreNews(std::string_view bytes);

}  // namespace toucanknot

#endif  // SRC_ENTRY_STORE_NEWS_CODEC_H_
