/**
 * Creates the crash tracker of an instance: which parts on probation it may try, and log lines on
 * bans.
 */
import { type BanListener, CrashTracker } from "../../core/crashes/tracker";
import type { Logger } from "../../core/log";
import { chooseByRendezvousHash } from "../../core/rendezvous";

/**
 * Creates the crash tracker of an instance.
 *
 * @param listLive - lists the live instances, including this one
 * @example
 * createCrashTracker("nizwa-1", () => members.listLive(clock.now()), logger);
 */
export function createCrashTracker(
  instance: string,
  listLive: () => readonly string[],
  logger: Logger,
): CrashTracker {
  const isResponsible = (part: string) =>
    chooseByRendezvousHash(`part ${part}`, [...listLive()].sort()) === instance;
  const hasPeers = () => listLive().length > 1;
  return new CrashTracker(isResponsible, createBanLog(logger), hasPeers);
}

/** Creates a listener that logs bans as they begin and end, with the inputs that decided. */
function createBanLog(logger: Logger): BanListener {
  return {
    onBan: ({ part, crashes, requests, rivals, isTrusted }) => {
      logger.warn("part banned", { part, crashes, requests, rivals, isTrusted, strikes: 1 });
    },
    onBanAgain: (part, strikes) => {
      logger.warn("part banned", { part, strikes });
    },
    onBanEnd: (part, end) => {
      logger.info("ban ended", { part, end });
    },
  };
}
