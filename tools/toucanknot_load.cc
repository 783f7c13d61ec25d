// toucanknot-load: generates bounded load on loopback, for trials.

#include "src/load/load_main.h"

int main(int argc, char** argv) {
  return toucanknot::LoadMain(argc, argv);
}
