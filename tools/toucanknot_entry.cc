// toucanknot-entry: runs one entry host on the platform.

#include "platform/entry_main.h"

int main(int argc, char** argv) {
  return toucanknot::platform::EntryMain(argc, argv);
}
