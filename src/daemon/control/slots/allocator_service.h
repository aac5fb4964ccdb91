// Allocates the slots of the cells that are assigned to this instance. All
// instances send their reservations for a cell to its allocator.

#ifndef MANGOYOKE_DAEMON_CONTROL_SLOTS_ALLOCATOR_SERVICE_H_
#define MANGOYOKE_DAEMON_CONTROL_SLOTS_ALLOCATOR_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "daemon/control/control_context.h"
#include "daemon/control_interface.h"
#include "mangoyoke/cell_map.h"
#include "mangoyoke/slot_allocator.h"

namespace mangoyoke {

// State that an engine reports about itself.
struct EngineState {
  BackendRole role = BackendRole::kPrefill;
  ModelId model;
  int64_t version = 0;
  uint64_t fencing_token = 0;
  struct RunningRequest {
    RequestId id;
    RequestOwner owner;
    bool attached = true;  // A client reads the response stream.
  };
  std::vector<RunningRequest> running;
};

// Runs on the control thread.
class AllocatorService {
 public:
  // The decision on a reservation and the cell's load after it.
  struct Reply {
    Result<SlotGrant> result;
    SlotAllocator::Summary summary;
  };
  using ReplyCallback = std::function<void(Reply)>;

  explicit AllocatorService(ControlContext context);

  // Starts the timer that processes the queues of the cells.
  void Start();
  // Takes over and gives up cells after the plan or the members changed.
  void UpdateCells(std::shared_ptr<const Plan> plan);

  // Requests slots of `cell`. `takeover`: the requesting instance could not
  // reach the cell's preferred allocator, so this one takes the cell over for a
  // while. The callback is called once the request is decided, with
  // kPeerUnreachable if this instance does not or no longer allocate the cell.
  // It is not called if Release withdraws the request first.
  void Reserve(const CellId& cell,
               bool takeover,
               SlotRequest request,
               ReplyCallback callback);
  // The prefill of a granted request has ended.
  void OnPrefillDone(const CellId& cell, const RequestId& id);
  // Withdraws a waiting request or releases its grant.
  void Release(const CellId& cell, const RequestId& id);
  // Records how fast a server of the cell was, or that it failed.
  void ReportObservation(const CellId& cell,
                         const BackendObservation& observation);
  // Reports a result of this instance's own probes, whose cell is looked up.
  void ReportProbeResult(const BackendObservation& observation);
  // Returns the ejected engines whose probe is due.
  std::vector<BackendId> BackendsNeedingProbe() const;
  // Returns a prefill server in the cell of `id` that is not ejected, or an
  // empty id.
  BackendId FindHealthyPrefill(const BackendId& id) const;
  // Restores a grant that its owner reports as still held, for example after
  // another instance became the cell's allocator.
  void RestoreGrant(const CellId& cell, const OwnedGrant& owned);
  // Releases what an instance's dead incarnation held.
  void OnOwnerDead(const RequestOwner& owner);

  // The engine watcher calls these two after each poll of an engine.
  void OnEngineState(const BackendId& id, const EngineState& state);
  void OnEngineUnreachable(const BackendId& id);
  // Returns the prefix index of the engine's cell, or null if this instance
  // does not allocate it.
  PrefixIndex* PrefixIndexOf(const BackendId& id);

  // Returns the engines of the cells allocated here.
  std::vector<BackendId> AssignedBackends() const;
  // Returns the grants older than `age`, which may have lost their release
  // message and must be checked with their owners.
  std::vector<std::pair<CellId, OwnedGrant>> GrantsOlderThan(
      Duration age) const;
  // Returns a JSON array with the load of each cell allocated here.
  Json DescribeCells() const;

  // Notified when an engine was added to the cells allocated here.
  Observers<const BackendId&> on_backend_added;

 private:
  struct CellState {
    Cell cell;
    std::unique_ptr<SlotAllocator> allocator;
    std::map<RequestId, ReplyCallback> waiting;
    // End of a temporary takeover from an unreachable allocator; zero if the
    // cell is assigned to this instance.
    TimePoint temporary_until{};
  };

  CellState* FindOwned(const CellId& id);
  CellState& TakeOverCell(const Cell& cell);
  void GiveUpCell(const CellId& id);
  void ProcessQueue(CellState& state);
  void ProcessAllQueues();
  // Ends expired temporary takeovers. Gives up the cells whose preferred
  // allocator is back.
  void EndTemporaryTakeovers();

  ControlContext context_;
  std::shared_ptr<const Plan> plan_;     // Null until the first UpdateCells.
  std::map<CellId, Cell> cells_;         // All cells of the plan.
  std::map<CellId, CellState> owned_;    // The cells allocated here.
  std::map<BackendId, CellId> cell_of_;  // Cell of each engine in owned_.
  std::unique_ptr<PeriodicTimer> queue_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_SLOTS_ALLOCATOR_SERVICE_H_
