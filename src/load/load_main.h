#ifndef SRC_LOAD_LOAD_MAIN_H_
#define SRC_LOAD_LOAD_MAIN_H_

namespace toucanknot {

// The program toucanknot-load: bounded load on loopback. Prints one JSON
// object. Exit code 0 when nothing was lost, doubled, wrong, cut or falsely
// refused, 1 when something was, 2 for bad usage.
int LoadMain(int argc, char** argv);

}  // namespace toucanknot

#endif  // SRC_LOAD_LOAD_MAIN_H_
