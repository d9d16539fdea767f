// The mutations of npm run prove: each breaks the mechanism behind a guarantee and names the test that must then fail.
import { answerMutations } from "./answers.mjs";
import { entryMutations } from "./entry.mjs";
import { expectedTimeMutations } from "./expected.mjs";
import { fleetMutations } from "./fleet.mjs";
import { forwardingMutations } from "./forwarding.mjs";
import { limitMutations } from "./limits.mjs";
import { relayMutations } from "./relay.mjs";
import { wayMutations } from "./ways.mjs";

export const mutations = [
  ...answerMutations,
  ...entryMutations,
  ...forwardingMutations,
  ...fleetMutations,
  ...limitMutations,
  ...relayMutations,
  ...wayMutations,
  ...expectedTimeMutations,
];
