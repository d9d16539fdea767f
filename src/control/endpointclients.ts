/**
 * Creates the clients of engines and services, which call none in an evacuated data centre.
 */
import type { Blackboard } from "../board/board";
import { isUrlEvacuated } from "../core/config/evacuations";
import { BarredEngineClient, BarredServiceClient } from "../endpoint/barred";
import { type EngineClient, HttpEngineClient } from "../endpoint/engine";
import { HttpServiceClient, type ServiceClient } from "../endpoint/service";
import type { CutListener } from "../store/cut";

/**
 * Creates the client of engines.
 *
 * @example
 * const engines = createEngineClient(board, (cut) => logger.warn("cut answer", { ...cut }));
 */
export function createEngineClient(board: Blackboard, onCut: CutListener): EngineClient {
  return new BarredEngineClient(new HttpEngineClient(onCut), createBarCheck(board));
}

/**
 * Creates the client of plain services.
 *
 * @example
 * const services = createServiceClient(board, (cut) => logger.warn("cut answer", { ...cut }));
 */
export function createServiceClient(board: Blackboard, onCut: CutListener): ServiceClient {
  return new BarredServiceClient(new HttpServiceClient(onCut), createBarCheck(board));
}

function createBarCheck(board: Blackboard): (url: string) => boolean {
  return (url) => isUrlEvacuated(board.config.read().configuration, url);
}
