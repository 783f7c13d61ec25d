#ifndef TESTS_CROWD_CROWD_H_
#define TESTS_CROWD_CROWD_H_

#include <cstddef>
#include <string>
#include <vector>

#include "include/base/endpoint.h"

namespace toucanknot::crowd {

// What each client of a crowd does on its connection.
struct Script {
  // Sent as fast as the host reads it.
  std::string bytes;
  // Sent after that, one byte at a time.
  std::string trickled;
  // Whether the client reads what the host sends.
  bool reads = true;
};

// Clients that follow one script at the same time, over loopback. Their
// connections stay open until the crowd is destroyed, unless the host closes
// them.
class Crowd {
 public:
  Crowd(const Endpoint& host, int clients, Script script);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Plays the script until all clients have sent everything or are closed, but
  // not for longer than a bound that keeps a hanging host from hanging the
  // test; then waits for a moment.
  void Play();

 private:
  struct Client {
    int fd = -1;
    size_t sent = 0;
    bool closed = false;
  };

  // Sends and receives what is possible now.
  void Step(Client& client);
  bool Receive(Client& client);
  bool Done() const;

  const Script script_;
  std::vector<Client> clients_;
};

// Sends `bytes` on a new connection and returns what arrives until the other
// side closes it; empty if the connection fails.
std::string Exchange(const Endpoint& host, const std::string& bytes);

}  // namespace toucanknot::crowd

#endif  // TESTS_CROWD_CROWD_H_
