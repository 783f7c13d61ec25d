// toucanknotd: runs one entry host.

#include "src/daemon/daemon_main.h"

int main(int argc, char** argv) {
  return toucanknot::DaemonMain(argc, argv);
}
