#ifndef SRC_LOAD_LOAD_MAIN_H_
#define SRC_LOAD_LOAD_MAIN_H_

namespace toucanknot {

// Entry point of toucanknot-load, which generates bounded load on loopback.
// Prints the results as one JSON object. Returns 0 when no work was lost, run
// more than once or falsely reported as not run, and no response was wrong or
// truncated; 1 otherwise; 2 for errors and bad usage.
int LoadMain(int argc, char** argv);

}  // namespace toucanknot

#endif  // SRC_LOAD_LOAD_MAIN_H_
