#ifndef SRC_STANDIN_STANDIN_MAIN_H_
#define SRC_STANDIN_STANDIN_MAIN_H_

namespace toucanknot {

// The program toucanknot-standin: the platform and all backend servers of a
// fleet in one process, for tests and trials. Runs until SIGTERM or SIGINT.
int StandinMain(int argc, char** argv);

}  // namespace toucanknot

#endif  // SRC_STANDIN_STANDIN_MAIN_H_
