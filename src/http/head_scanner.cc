#include "src/http/head_scanner.h"

namespace toucanknot {

void HeadScanner::Scan(std::string_view head) {
  while (!done()) {
    const size_t at = head.find('\n', scanned_);
    if (at == std::string_view::npos) {
      scanned_ = head.size();
      return;
    }
    scanned_ = at + 1;
    const bool has_cr = at > line_begin_ && head[at - 1] == '\r';
    const bool is_empty = has_cr && at == line_begin_ + 1;
    ++lines_;
    if (first_line_ == 0)
      first_line_ = scanned_;
    if (!has_cr || is_empty)
      end_ = scanned_;
    line_begin_ = scanned_;
  }
}

}  // namespace toucanknot
