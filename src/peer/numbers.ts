/**
 * Bounds of numbers in messages of peers, which a faulty or a newer build may have written: one that
 * cannot be true costs what it stands in, and never the turn or what is computed from it later.
 */
import type {
  Absence,
  Beat,
  ChargeRequest,
  EndpointLimit,
  EngineSpeed,
  PermitRequest,
  RelayRecord,
  RelayReport,
  Work,
  WorkspaceUsage,
} from "./gen/fleet";

/** The highest cost that is believed, in tokens; far more than a process admits in its life. */
const MAX_COST = 1e15;
/** The highest limit of an endpoint that is believed, in requests a second. */
const MAX_PER_SECOND = 1e9;
/** The highest number of sends that one ask is for; a hold and its run take two. */
const MAX_SENDS = 100;
/** Speeds of engines that are believed, in prompt tokens a millisecond. */
const SPEEDS = { min: 0.001, max: 1e6 } as const;
/** The longest time for which an engine may be absent, in milliseconds; a change of its stage takes seconds. */
const MAX_ABSENCE_MS = 3_600_000;
/** The longest time after which an owner of a limit is asked again, in milliseconds. */
const MAX_RETRY_MS = 60_000;

/**
 * The highest generation or version of a record that is believed: what is counted on from it stays a number
 * that a message can have.
 */
const MAX_RECORD_NUMBER = 2 ** 52;
/** The largest fleet that is believed, in instances. */
const MAX_FLEET_SIZE = 10_000;

/** Stands for a cost that was not believed: what the sender has used since it started is not known. */
export const UNREAD_COST = Number.NaN;

/** The longest delay after a charge that is believed, in milliseconds; an account refills within minutes. */
const MAX_CHARGE_RETRY_MS = 3_600_000;
/** The most work on an engine that is believed, of one instance as of a fleet: many times what an engine holds. */
const MAX_WORK = { tokens: 1e9, requests: 1e6 } as const;
/** What one instance may tell of its callers: prompt tokens a second, and generations that wait. */
const MAX_INSTANCE_LOAD = { arrivingTokens: 1e8, waiting: 1e6 } as const;
/** What a sum over a fleet may tell of them. */
const MAX_FLEET_LOAD = { arrivingTokens: 2e9, waiting: 6e8 } as const;
/** The longest address that is believed, in characters. */
const MAX_ADDRESS_LENGTH = 512;

/** Called with each number that is not used, and the field that it stands in. */
export type NumberFaultListener = (field: string, value: number | undefined) => void;

/** The numbers that an entry of a list may have. */
interface Bound<T> {
  readonly field: string;
  readonly read: (entry: T) => number | undefined;
  readonly min: number;
  readonly max: number;
}

const COST: Bound<{ readonly cost: number }> = {
  field: "cost",
  read: ({ cost }) => cost,
  min: 0,
  max: MAX_COST,
};

const LIMIT: Bound<Pick<EndpointLimit, "perSecond">> = {
  field: "perSecond",
  read: ({ perSecond }) => perSecond,
  min: 0,
  max: MAX_PER_SECOND,
};

const ABSENCE: Bound<Absence> = {
  field: "remainingMs",
  read: ({ remainingMs }) => remainingMs,
  min: 0,
  max: MAX_ABSENCE_MS,
};

const SPEED: Bound<EngineSpeed> = {
  field: "tokensPerMs",
  read: ({ tokensPerMs }) => tokensPerMs,
  ...SPEEDS,
};

const SENDS: Bound<Pick<PermitRequest, "count">> = {
  field: "count",
  read: ({ count }) => count,
  min: 0,
  max: MAX_SENDS,
};

const WORK: readonly Bound<Work>[] = [
  { field: "heldTokens", read: ({ heldTokens }) => heldTokens, min: 0, max: MAX_WORK.tokens },
  { field: "promptTokens", read: ({ promptTokens }) => promptTokens, min: 0, max: MAX_WORK.tokens },
  { field: "requests", read: ({ requests }) => requests, min: 0, max: MAX_WORK.requests },
];

const GENERATION: Bound<RelayRecord> = {
  field: "generation",
  read: ({ generation }) => generation,
  min: 0,
  max: MAX_RECORD_NUMBER,
};

const VERSION: Bound<RelayRecord> = {
  field: "version",
  read: ({ version }) => version,
  min: 0,
  max: MAX_RECORD_NUMBER,
};

/**
 * Checks the time at which a peer sent a message, in milliseconds of the monotonic clock of its process.
 *
 * @example
 * isSendTime(Number.NaN); // false
 */
export function isSendTime(sentAtMs: number | undefined): sentAtMs is number {
  return sentAtMs !== undefined && isWithin(sentAtMs, 0, Number.MAX_SAFE_INTEGER);
}

/**
 * Checks the number of instances that a peer knows.
 *
 * @example
 * isFleetSize(4_294_967_295); // false
 */
export function isFleetSize(size: number | undefined): size is number {
  return size !== undefined && isWithin(size, 0, MAX_FLEET_SIZE);
}

/**
 * Drops the entries of a heartbeat, or of a record of a peer, whose numbers can't be true; reports those
 * of its head too, which are read by themselves. A cost that can't be true becomes UNREAD_COST,
 * a count of arrivals or of waiting generations zero.
 *
 * @example
 * checkBeat(Beat.decode(content), (field, value) => log(field, value)).usages;
 */
export function checkBeat(beat: Beat, onFault: NumberFaultListener): Beat {
  const { sentAtMs, fleetSize } = beat;
  if (sentAtMs !== undefined && !isSendTime(sentAtMs)) onFault("sentAtMs", sentAtMs);
  if (fleetSize !== undefined && !isFleetSize(fleetSize)) onFault("fleetSize", fleetSize);
  const oddAddresses = beat.heardAddresses.length - listHeardAddresses(beat).length;
  if (oddAddresses > 0) onFault("heardAddresses", oddAddresses);
  return {
    ...beat,
    ...readLoad(beat, MAX_INSTANCE_LOAD, onFault),
    usages: readCosts(beat.usages, onFault),
    endpointLimits: keepEntries(beat.endpointLimits, LIMIT, onFault),
    engineSpeeds: keepEntries(beat.engineSpeeds, SPEED, onFault),
    absences: keepEntries(beat.absences, ABSENCE, onFault),
  };
}

/**
 * Drops the records of a neighbour's message whose numbers can't be true.
 *
 * @example
 * checkRecords(message.records, onFault).length;
 */
export function checkRecords(
  records: readonly RelayRecord[],
  onFault: NumberFaultListener,
): readonly RelayRecord[] {
  return keepEntries(keepEntries(records, GENERATION, onFault), VERSION, onFault);
}

/**
 * Drops the works of a neighbour's report whose numbers can't be true; a count of arrivals or of waiting
 * generations becomes zero, and a cost UNREAD_COST.
 *
 * @example
 * checkReport(message.report, onFault).usages;
 */
export function checkReport(report: RelayReport, onFault: NumberFaultListener): RelayReport {
  return {
    ...report,
    ...readLoad(report, MAX_FLEET_LOAD, onFault),
    usages: readCosts(report.usages, onFault),
  };
}

/**
 * Checks the costs of a charge, each by itself.
 *
 * @returns for each cost, whether it can be true; none can if the total of the sender can't
 * @example
 * checkCosts({ ...request, costs: [1, Number.NaN] }, onFault); // [true, false]
 */
export function checkCosts(request: ChargeRequest, onFault: NumberFaultListener): boolean[] {
  const isSound = (cost: number) => keepEntries([{ cost }], COST, onFault).length > 0;
  const isTotalSound = isSound(request.totalCost);
  return request.costs.map((cost) => isSound(cost) && isTotalSound);
}

/**
 * Checks the limits and the number of sends of an ask for permits.
 *
 * @example
 * isPermitRequest({ ...request, count: 4_294_967_295 }, onFault); // false
 */
export function isPermitRequest(request: PermitRequest, onFault: NumberFaultListener): boolean {
  const { limit, coldPerSecond } = request;
  const limits = [{ perSecond: limit?.perSecond }, { perSecond: coldPerSecond }];
  const areSound = keepEntries(limits, LIMIT, onFault).length === limits.length;
  return keepEntries([request], SENDS, onFault).length > 0 && areSound;
}

/**
 * Bounds the time after which the owner of a limit wants to be asked again, in milliseconds.
 *
 * @example
 * boundRetryMs(4_294_967_295); // 60000
 */
export function boundRetryMs(retryAfterMs: number): number {
  return Math.min(retryAfterMs, MAX_RETRY_MS);
}

/**
 * Chooses the count of a sender from which its next one is charged.
 *
 * @param known - its count so far, or UNREAD_COST; undefined if it has told none
 * @param isFirst - true if a count that it has not told may be of any size, else it was zero
 * @returns the count itself where it is the first that can be read
 * @example
 * chooseBaseline(UNREAD_COST, 300, false); // 300
 */
export function chooseBaseline(known: number | undefined, cost: number, isFirst: boolean): number {
  const before = known ?? (isFirst ? cost : 0);
  return Number.isNaN(before) ? cost : before;
}

/**
 * Reads the delay in the reply to a charge, in milliseconds; one that can't be true is a minute.
 *
 * @example
 * readChargeRetryMs(Number.NaN); // 60000
 */
export function readChargeRetryMs(retryAfterMs: number): number {
  return isWithin(retryAfterMs, 0, MAX_CHARGE_RETRY_MS) ? retryAfterMs : MAX_RETRY_MS;
}

/**
 * Reads the level of an account in the reply to a charge; one that can't be true is zero.
 *
 * @example
 * readLevel(Number.NaN); // 0
 */
export function readLevel(level: number): number {
  return isWithin(level, -MAX_COST, MAX_COST) ? level : 0;
}

/**
 * Lists the addresses that a peer has heard of, as many and as long as they may be.
 *
 * @example
 * listHeardAddresses({ heardAddresses: ["", "10.0.0.1:7000"] }); // ["10.0.0.1:7000"]
 */
export function listHeardAddresses({
  heardAddresses,
}: Pick<Beat, "heardAddresses">): readonly string[] {
  const isSound = ({ length }: string) => isWithin(length, 1, MAX_ADDRESS_LENGTH);
  return heardAddresses.slice(0, MAX_FLEET_SIZE).filter(isSound);
}

type LoadCounts = Pick<Beat, "works" | "arrivingTokens" | "waiting">;

function readLoad(
  load: LoadCounts,
  max: Omit<LoadCounts, "works">,
  onFault: NumberFaultListener,
): LoadCounts {
  const readCount = (field: keyof typeof max) => {
    if (isWithin(load[field], 0, max[field])) return load[field];
    onFault(field, load[field]);
    return 0;
  };
  return {
    works: WORK.reduce((works, bound) => keepEntries(works, bound, onFault), load.works),
    arrivingTokens: readCount("arrivingTokens"),
    waiting: readCount("waiting"),
  };
}

function readCosts(usages: readonly WorkspaceUsage[], onFault: NumberFaultListener) {
  const sound = new Set(keepEntries(usages, COST, onFault));
  return usages.map((usage) => (sound.has(usage) ? usage : { ...usage, cost: UNREAD_COST }));
}

function keepEntries<T>(
  entries: readonly T[],
  { field, read, min, max }: Bound<T>,
  onFault: NumberFaultListener,
): T[] {
  return entries.filter((entry) => {
    const value = read(entry);
    const isSound = value === undefined || isWithin(value, min, max);
    if (!isSound) onFault(field, value);
    return isSound;
  });
}

/** False also for what is no number. */
function isWithin(value: number, min: number, max: number): boolean {
  return value >= min && value <= max;
}
