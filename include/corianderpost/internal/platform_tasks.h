// Tasks that read the platform: configuration, VM list, targets' load.
#ifndef CORIANDERPOST_INTERNAL_PLATFORM_TASKS_H_
#define CORIANDERPOST_INTERNAL_PLATFORM_TASKS_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "corianderpost/events.h"
#include "corianderpost/internal/http_util.h"
#include "corianderpost/internal/mailbox.h"

namespace corianderpost::internal {

using EventSink = std::function<void(Event)>;

// Reads the configuration service when told to. Each read is answered by one
// event.
class ConfigurationTask {
 public:
  ConfigurationTask(const HostPort& service, EventSink sink);
  ~ConfigurationTask();
  void Read(const ReadConfiguration& read) { inbox_.Push(read); }

 private:
  void Run();
  Event ReadOnce(const ReadConfiguration& read);

  const HostPort address_;
  const EventSink sink_;
  std::unique_ptr<httplib::Client> client_;
  std::shared_ptr<const Bundle> last_;
  Mailbox<ReadConfiguration> inbox_;
  std::thread thread_;
};

// Fetches newer bundles and VM lists from peers.
class PeerPullTask {
 public:
  explicit PeerPullTask(EventSink sink);
  ~PeerPullTask();
  void PullBundleFrom(const HostPort& peer) { inbox_.Push({peer, false}); }
  void PullListFrom(const HostPort& peer) { inbox_.Push({peer, true}); }

 private:
  struct Pull {
    HostPort peer;
    bool is_list = false;
  };
  void Run();
  const EventSink sink_;
  Mailbox<Pull> inbox_;
  std::thread thread_;
};

// Reads the VM list again and again.
class VmListTask {
 public:
  VmListTask(const HostPort& service, EventSink sink);
  ~VmListTask();

 private:
  void Run();
  const HostPort address_;
  const EventSink sink_;
  Mailbox<int> stop_;
  std::thread thread_;
};

// Asks targets for their load. Each poll is answered by one event.
class LoadTask {
 public:
  explicit LoadTask(EventSink sink);
  ~LoadTask();
  void Poll(const PollLoad& poll, const HostPort& address);

 private:
  struct Request {
    PollLoad poll;
    HostPort address;
  };
  void Run();
  const EventSink sink_;
  Mailbox<Request> inbox_;
  std::vector<std::thread> threads_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_PLATFORM_TASKS_H_
