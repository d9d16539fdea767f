/**
 * Creates the clients of engines and services, which call none in an evacuated data centre.
 */
import type { Blackboard } from "../board/board";
import { isUrlEvacuated } from "../core/config/evacuations";
import { BarredEngineClient, BarredServiceClient } from "../endpoint/barred";
import { type EngineClient, HttpEngineClient } from "../endpoint/engine";
import { HttpServiceClient, type ServiceClient } from "../endpoint/service";
import type { BrokenAnswerListener } from "../store/brokenanswer";

/**
 * Creates the client of engines.
 *
 * @example
 * const engines = createEngineClient(board, (answer) => logger.warn("broken answer", { ...answer }));
 */
export function createEngineClient(
  board: Blackboard,
  onBroken: BrokenAnswerListener,
): EngineClient {
  return new BarredEngineClient(new HttpEngineClient(onBroken), createBarCheck(board));
}

/**
 * Creates the client of plain services.
 *
 * @example
 * const services = createServiceClient(board, (answer) => logger.warn("broken answer", { ...answer }));
 */
export function createServiceClient(
  board: Blackboard,
  onBroken: BrokenAnswerListener,
): ServiceClient {
  return new BarredServiceClient(new HttpServiceClient(onBroken), createBarCheck(board));
}

function createBarCheck(board: Blackboard): (url: string) => boolean {
  return (url) => isUrlEvacuated(board.config.read().configuration, url);
}
