#ifndef SRC_STANDIN_STANDIN_MAIN_H_
#define SRC_STANDIN_STANDIN_MAIN_H_

namespace toucanknot {

// Entry point of toucanknot-standin: runs stand-ins for the platform and all
// backend servers of a fleet in one process, for tests and trials, until
// SIGTERM or SIGINT.
int StandinMain(int argc, char** argv);

}  // namespace toucanknot

#endif  // SRC_STANDIN_STANDIN_MAIN_H_
