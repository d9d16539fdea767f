/**
 * What all parts of an instance are created from: its settings, adapter, clock, log and identity.
 */
import { ByteBudget } from "../core/bytebudget";
import { type Clock, MonotonicClock } from "../core/clock";
import { createIncarnation } from "../core/ids";
import { BoundedLineWriter, createByteWriter } from "../core/lines";
import { createLogger, type Logger } from "../core/log";
import { RecordFaults } from "../fleet/feeds/faults";
import type { MemberIdentity } from "../fleet/members";
import type { Adapter } from "./adapter";
import { LoopDelaySampler, Meter } from "./requests";
import type { ForwardSettings } from "./settings";

const STANDARD_OUTPUT = 1;

/** What the parts of one instance have in common. */
export interface InstanceBase {
  readonly settings: ForwardSettings;
  readonly adapter: Adapter;
  readonly clock: Clock;
  readonly meter: Meter;
  readonly loopDelay: LoopDelaySampler;
  /** Writes the log lines. */
  readonly lines: BoundedLineWriter;
  readonly logger: Logger;
  /** Reports what peers sent and can't be used. */
  readonly faults: RecordFaults;
  readonly self: MemberIdentity;
  /** The bytes that are held of answers. */
  readonly heldBytes: ByteBudget;
}

/**
 * Creates the base of an instance that logs to standard output, with a new incarnation.
 *
 * @example
 * const { clock, logger, self } = createInstanceBase(settings, adapter);
 */
export function createInstanceBase(settings: ForwardSettings, adapter: Adapter): InstanceBase {
  const { instance, dataCentre, peers } = settings;
  const lines = new BoundedLineWriter(createByteWriter(STANDARD_OUTPUT));
  const address = `${peers.host}:${peers.port}`;
  const clock = new MonotonicClock();
  const meter = new Meter();
  const logger = createLogger(instance, settings.logLevel, lines);
  const loopDelay = new LoopDelaySampler(clock, (ms) => {
    meter.recordLoopDelay(ms);
  });
  loopDelay.rest();
  return {
    settings,
    adapter,
    clock,
    meter,
    loopDelay,
    lines,
    logger,
    faults: new RecordFaults(logger, meter, clock),
    heldBytes: new ByteBudget(clock, settings.maxHeldBytes, (holder, bytes) => {
      meter.noRoom.inc();
      logger.warn("no room", { holder, bytes });
    }),
    self: { instance, incarnation: createIncarnation(instance), address, dataCentre },
  };
}
