// Allocates the cells that are assigned to this instance, for all entries.

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

// What an engine says of itself.
struct EngineState {
  BackendRole role = BackendRole::kPrefill;
  ModelId model;
  int64_t version = 0;
  uint64_t fencing_token = 0;
  struct Running {
    RequestId id;
    RequestOwner owner;
    bool attached = true;  // Somebody reads the answer.
  };
  std::vector<Running> running;
};

class AllocatorService {
 public:
  struct Reply {
    Result<SlotGrant> result;
    SlotAllocator::Summary summary;
  };
  using ReplyCallback = std::function<void(Reply)>;

  explicit AllocatorService(ControlContext context);

  void Start();
  // Takes cells over and gives them up after a change of plan or members.
  void UpdateCells(std::shared_ptr<const Plan> plan);

  // An entry asks for slots of `cell`. `takeover`: the entry could not reach
  // the cell's first allocator. The callback comes when it is decided.
  void Reserve(const CellId& cell,
               bool takeover,
               SlotRequest request,
               ReplyCallback callback);
  void OnPrefillDone(const CellId& cell, const RequestId& id);
  void Release(const CellId& cell, const RequestId& id);
  void ReportObservation(const CellId& cell,
                         const BackendObservation& observation);
  // The same without a cell, from this instance's probes.
  void ReportProbeResult(const BackendObservation& observation);
  // Ejected engines whose probe is due.
  std::vector<BackendId> NeedingProbe() const;
  // A prefill server of the same cell that is not ejected; empty if none.
  BackendId HealthyPrefillBeside(const BackendId& id) const;
  void RestoreGrant(const CellId& cell, const OwnedGrant& owned);
  // An instance's run ended.
  void OnOwnerDead(const RequestOwner& owner);

  // From the engine watcher.
  void OnEngineState(const BackendId& id, const EngineState& state);
  void OnEngineUnreachable(const BackendId& id);
  PrefixIndex* PrefixesOf(const BackendId& id);

  // Engines of the cells allocated here.
  std::vector<BackendId> AssignedBackends() const;
  // Grants to be checked with their owners.
  std::vector<std::pair<CellId, OwnedGrant>> OldGrants(Duration age) const;
  Json DescribeCells() const;

  // Fired when an engine came under this instance's watch.
  Observers<const BackendId&> on_taken_over;

 private:
  struct CellState {
    Cell cell;
    std::unique_ptr<SlotAllocator> allocator;
    std::map<RequestId, ReplyCallback> waiting;
    // Allocated until then for another who is unreachable; zero if not.
    TimePoint borrowed_until{};
  };

  CellState* Find(const CellId& id);
  CellState& TakeOver(const Cell& cell);
  void GiveUp(const CellId& id);
  void ProcessQueue(CellState& state);
  void ProcessAllQueues();
  // Gives borrowed cells up whose time is over and whose first allocator is
  // back.
  void ReturnBorrowed();

  ControlContext context_;
  std::shared_ptr<const Plan> plan_;     // Null until the first update.
  std::map<CellId, Cell> cells_;         // All of the plan.
  std::map<CellId, CellState> owned_;    // Allocated here.
  std::map<BackendId, CellId> cell_of_;  // Of engines in owned cells.
  std::unique_ptr<PeriodicTimer> queue_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_SLOTS_ALLOCATOR_SERVICE_H_
