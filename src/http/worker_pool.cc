#include "src/http/worker_pool.h"

#include <algorithm>

namespace toucanknot {
namespace {

thread_local int current_worker = -1;

void RunLoop(int index, WorkerPool::Loop* loop) {
  current_worker = index;
  loop->run();
}

}  // namespace

WorkerPool::WorkerPool(int count) {
  const int n = std::max(count, 1);
  guards_.reserve(n);
  for (int i = 0; i < n; ++i) {
    loops_.push_back(std::make_unique<Loop>(1));
    guards_.emplace_back(loops_.back()->get_executor());
  }
  for (int i = 0; i < n; ++i)
    threads_.emplace_back(RunLoop, i, loops_[i].get());
}

WorkerPool::~WorkerPool() {
  Stop();
}

WorkerPool::Loop& WorkerPool::NextLoop() {
  return *loops_[next_.fetch_add(1) % loops_.size()];
}

int WorkerPool::CurrentWorker() {
  return current_worker;
}

void WorkerPool::Stop() {
  for (auto& it : loops_)
    it->stop();
  for (std::thread& it : threads_) {
    if (it.joinable())
      it.join();
  }
  stopped_ = true;
}

}  // namespace toucanknot
