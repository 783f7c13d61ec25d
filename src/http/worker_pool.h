#ifndef SRC_HTTP_WORKER_POOL_H_
#define SRC_HTTP_WORKER_POOL_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace toucanknot {

// A fixed number of worker threads, each with an event loop of its own. A
// connection stays with one worker for life, so that its state needs no lock;
// tables that workers share carry locks of their own.
class WorkerPool {
 public:
  using Loop = boost::asio::io_context;

  // Starts `count` threads, at least one.
  explicit WorkerPool(int count);
  // Stops the loops and joins the threads.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  int size() const { return static_cast<int>(loops_.size()); }
  Loop& loop(int i) { return *loops_[i]; }
  // The loops in turn, for placing new connections.
  Loop& Next();
  // Which worker the calling thread is; -1 when it is none of any pool.
  static int Current();

  // Stops the loops at once and joins the threads. Not to be called from a
  // worker. What holds sockets must be destroyed between this and the pool's
  // destruction, which destroys the coroutines that were left waiting.
  void Stop();
  bool stopped() const { return stopped_; }

 private:
  using Guard = boost::asio::executor_work_guard<Loop::executor_type>;

  std::vector<std::unique_ptr<Loop>> loops_;
  std::vector<Guard> guards_;
  std::vector<std::thread> threads_;
  std::atomic<unsigned> next_{0};
  std::atomic<bool> stopped_{false};
};

}  // namespace toucanknot

#endif  // SRC_HTTP_WORKER_POOL_H_
