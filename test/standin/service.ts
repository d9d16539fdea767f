/**
 * Stand-in for a plain service that manages job sheets. Arguments: name, port, history file.
 *
 * Each POST /sheets/issues that arrives is recorded as a run; GET /sheets/ID is a lookup. Members of the body
 * inject faults: delayMs, dieBefore and dieAfter (kill the process before or after the run), loseAnswer.
 */
import { answerJson, History, pause, serveJson } from "./http";

const [name = "service", port = "0", historyFile = ""] = process.argv.slice(2);
const incarnation = `${name}-${process.pid}`;
let isDraining = false;
process.on("SIGTERM", () => {
  isDraining = true;
});
const history = new History(name, historyFile);

serveJson(Number(port), async (request, response) => {
  const attempt = String(request.headers["x-attempt-id"] ?? "");
  const headers = { "x-attempt-id": attempt };
  if (request.text.includes("gf_") || JSON.stringify(request.headers).includes("gf_"))
    history.record("leak");
  if (request.path === "/livez") {
    answerJson(response, 200, {}, headers);
    return;
  }
  if (request.path === "/report") {
    answerJson(response, 200, {
      name,
      incarnation,
      role: "service",
      models: [],
      slots: 100,
      holds: [],
      queuedTokens: 0,
      draining: isDraining,
      fence: -1,
      evicted: [],
    });
    return;
  }
  const { body } = request;
  if (body.dieBefore === true) process.kill(process.pid, "SIGKILL");
  const isRun = request.method === "POST";
  history.record(isRun ? "run" : "lookup", {
    attempt,
    issue: body.issue,
    path: request.path,
    workspace: body.workspace,
  });
  if (body.dieAfter === true) process.kill(process.pid, "SIGKILL");
  if (body.loseAnswer === true) {
    response.destroy();
    return;
  }
  await pause(Number(body.delayMs ?? 2));
  answerJson(response, 200, { ran: isRun, issue: body.issue ?? null, path: request.path }, headers);
});
