#ifndef SRC_HTTP_HEAD_SCANNER_H_
#define SRC_HTTP_HEAD_SCANNER_H_

#include <cstddef>
#include <string_view>

namespace toucanknot {

// Finds the lines and the end of a message's head while it arrives, so that the
// head is parsed once, when it is complete, and its memory can be reserved
// before. Looks at each byte once, however it arrives.
class HeadScanner {
 public:
  // Continues in `head`, which begins with the same bytes as in earlier calls.
  void Scan(std::string_view head);

  // Whether the end of the head was found, or a line that does not end in CR
  // LF, which is malformed.
  bool done() const { return end_ > 0; }
  // Number of bytes up to there.
  size_t end() const { return end_; }
  // Number of bytes of the first line; 0 until it is complete.
  size_t first_line() const { return first_line_; }
  // Upper bound of the number of fields.
  size_t lines() const { return lines_; }

 private:
  size_t scanned_ = 0;
  size_t line_begin_ = 0;
  size_t lines_ = 0;
  size_t first_line_ = 0;
  size_t end_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_HTTP_HEAD_SCANNER_H_
