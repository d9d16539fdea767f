/**
 * Creates a gate for tests of one instance, which owns all limits itself.
 */
import type { Clock } from "../../src/core/clock";
import { SILENT_LOGGER } from "../../src/core/log";
import { EndpointDirectory } from "../../src/fleet/directory";
import { OwnerChooser } from "../../src/fleet/owners";
import { EndpointGate } from "../../src/forward/limits/gate";
import { LimitAccounts } from "../../src/forward/limits/accounts";
import { ColdEndpoints } from "../../src/forward/limits/cold";
import { EndpointLimits } from "../../src/forward/limits/limits";
import { Permits } from "../../src/forward/limits/permits";
import { LimitSources } from "../../src/forward/limits/sources";
import { testCodecs } from "./forward";

const INSTANCE = "nizwa-1";

/** Creates a gate without peers. */
export function createGate(clock: Clock, limits = new EndpointLimits()): EndpointGate {
  const logger = SILENT_LOGGER;
  const directory = new EndpointDirectory(testCodecs.decodeEndpoint);
  const cold = new ColdEndpoints({
    directory,
    findLimit: () => undefined,
    tolerance: { ratio: 1.5, slack: 5 },
  });
  const sources = new LimitSources(limits, cold);
  const permits = new Permits({
    instance: INSTANCE,
    sources,
    accounts: new LimitAccounts(() => ({ heard: 1, missing: 0 })),
    owners: new OwnerChooser(INSTANCE, () => [INSTANCE], clock),
    transport: { request: () => Promise.resolve(undefined) },
    clock,
    logger,
    onDecision: () => undefined,
  });
  return new EndpointGate({
    evacuations: { isEvacuated: () => false },
    directory,
    sources,
    permits,
    clock,
    logger,
    onLimitChange: () => undefined,
  });
}
