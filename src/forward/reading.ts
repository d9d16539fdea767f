/**
 * Decides how an instance reads the store: in a fleet with relays only few of them do, and an instance
 * that starts leaves the first reads to peers that may have read already.
 */
import type { MemberList } from "../fleet/members";
import type { ReaderRole } from "../fleet/readers";
import { ReadRole } from "../fleet/feeds/state";
import type { ReadPolicy } from "../fleet/watcher";
import type { InstanceBase } from "./base";

/** Shortest time for which a starting instance may leave its first reads to peers, in milliseconds. */
const MIN_HOLD_MS = 300;
/**
 * How long after its start an instance of a large fleet reads only what it does not know at all, in
 * milliseconds; its view of the fleet is complete by then.
 */
const START_MS = 6000;

/**
 * Creates the policy of an instance.
 *
 * @example
 * const policy = createReadPolicy(base, members, readerRole);
 */
export function createReadPolicy(
  { settings, clock }: Pick<InstanceBase, "settings" | "clock">,
  members: MemberList,
  readerRole: ReaderRole,
): ReadPolicy {
  const startedAt = clock.now();
  // Few instances hold for a short time and many for a long one, so that the first reads of a fleet
  // that starts as a whole are few.
  const { startHoldMs = 0 } = settings;
  const holdMs =
    settings.knownPeers.length === 0 || startHoldMs <= MIN_HOLD_MS
      ? 0
      : MIN_HOLD_MS + (startHoldMs - MIN_HOLD_MS) * Math.sqrt(Math.random());
  return {
    holdUntil: startedAt + holdMs,
    isLargeFleet: () => members.usesRelays,
    readRole: (now) => {
      const place = readerRole.readPlace(now);
      if (!members.usesRelays) return place >= 0 ? ReadRole.reader : ReadRole.none;
      if (members.mayRead(now)) {
        if (place < 0) return ReadRole.none;
        return place === 0 ? ReadRole.reader : ReadRole.standby;
      }
      return now - startedAt < START_MS ? ReadRole.waiting : ReadRole.member;
    },
  };
}
