// toucanknot-standin: stand-ins for tests and trials.

#include "src/standin/standin_main.h"

int main(int argc, char** argv) {
  return toucanknot::StandinMain(argc, argv);
}
