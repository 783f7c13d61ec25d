// toucanknot-standin: runs stand-ins for the platform and backend servers, for
// tests and trials.

#include "src/standin/standin_main.h"

int main(int argc, char** argv) {
  return toucanknot::StandinMain(argc, argv);
}
