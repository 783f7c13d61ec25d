#ifndef INCLUDE_ENTRY_EXPLAIN_QUERY_H_
#define INCLUDE_ENTRY_EXPLAIN_QUERY_H_

#include <string>

namespace toucanknot {

// A question where a request would go now, and why.
struct ExplainQuery {
  // Header field of the question that holds the workspace's API key, so that
  // it appears in no target and no log.
  static constexpr char kKeyField[] = "Toucanknot-Explain-Key";

  std::string host_name;
  std::string path;
  // The object that the request is about; empty if it names none.
  std::string object;
  // The workspace's name; takes precedence over the key.
  std::string workspace;
  // Never printed.
  std::string key;
};

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_EXPLAIN_QUERY_H_
