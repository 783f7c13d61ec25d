#ifndef SRC_DAEMON_ANSWERS_H_
#define SRC_DAEMON_ANSWERS_H_

#include <string>
#include <string_view>

#include "include/base/verdict.h"
#include "include/steering/dispatcher.h"
#include "src/http/http_message.h"

namespace toucanknot {

// A backend server's answer as its caller gets it: without the fields of the
// connection it came over, with the verdict.
HttpResponse ToCaller(HttpResponse answer, Verdict verdict);

// An answer of the host itself: the verdict, a reason that programs can read
// and a sentence for people.
HttpResponse HostResponse(int status,
                          Verdict verdict,
                          std::string_view reason,
                          const std::string& sentence);

// The answer to a request that the dispatcher refused.
HttpResponse RefusalResponse(Refusal refusal);

}  // namespace toucanknot

#endif  // SRC_DAEMON_ANSWERS_H_
