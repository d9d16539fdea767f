/**
 * Program that runs a peer behind a slow relay, with an endpoint; see `slowpair.ts`. Its argument is how late the relay
 * carries bytes, in milliseconds.
 */
import { startSlowPair } from "./slowpair";
import { TunnelScene } from "./tunnels";

async function start(delayMs: number): Promise<void> {
  const { relay, relayAddress, pair, target } = await startSlowPair(new TunnelScene());
  relay.delayMs = delayMs;
  process.send?.({ peerAddress: pair.peerAddress, relayAddress, target });
}

// The parent has closed the pair, or is gone.
process.on("disconnect", () => process.exit());
void start(Number(process.argv[2]));
