/**
 * Checks that every reference between the objects of a configuration names an existing object.
 */
import * as E from "fp-ts/Either";
import type { Configuration } from "./objects";
import { Role, RouteKind } from "./objects";
import { DecodeError } from "../codec";

/**
 * Checks every reference between objects, and members that depend on each other.
 *
 * @param configuration - the configuration to check
 * @param source - the file or stream that it came from, for error messages
 * @returns the configuration, or an error with every fault found
 * @example
 * checkReferences(createEmptyConfiguration(), "config.json"); // right(...)
 */
export function checkReferences(
  configuration: Configuration,
  source: string,
): E.Either<DecodeError, Configuration> {
  const faults = [
    ...checkWorkspaces(configuration),
    ...checkRoutes(configuration),
    ...checkEndpoints(configuration),
    ...checkKeys(configuration),
  ];
  return faults.length === 0 ? E.right(configuration) : E.left(new DecodeError(source, faults));
}

function checkName(path: string, name: string | undefined, defined: object): string[] {
  if (name === undefined || Object.hasOwn(defined, name)) return [];
  const allowed = Object.keys(defined).slice(0, 8).join(", ");
  return [`at ${path}: found "${name}"; allowed: ${allowed === "" ? "none is defined" : allowed}`];
}

function checkWorkspaces(configuration: Configuration): string[] {
  return Object.entries(configuration.workspaces).flatMap(([name, workspace]) => [
    ...checkName(`workspaces.${name}.selector`, workspace.selector, configuration.selectors),
    ...workspace.classes.flatMap((className, index) =>
      checkName(`workspaces.${name}.classes.${index}`, className, configuration.classes),
    ),
    ...(workspace.classes.length > 0
      ? []
      : [`at workspaces.${name}.classes: found []; allowed: one class or more`]),
  ]);
}

function checkRoutes(configuration: Configuration): string[] {
  return Object.entries(configuration.routes).flatMap(([name, route]) => [
    ...checkName(`routes.${name}.selector`, route.selector, configuration.selectors),
    ...(route.path.startsWith("/")
      ? []
      : [`at routes.${name}.path: found "${route.path}"; allowed: a path from "/"`]),
    ...(route.kind === RouteKind.service && route.service === undefined
      ? [`at routes.${name}.service: found nothing; allowed: the name of a service`]
      : []),
  ]);
}

function checkEndpoints(configuration: Configuration): string[] {
  return Object.entries(configuration.endpoints).flatMap(([name, endpoint]) => [
    ...checkName(`endpoints.${name}.dataCentre`, endpoint.dataCentre, configuration.dataCentres),
    ...(endpoint.models ?? []).flatMap((model, index) =>
      checkName(`endpoints.${name}.models.${index}`, model, configuration.models),
    ),
    ...(endpoint.role === Role.service && endpoint.service === undefined
      ? [`at endpoints.${name}.service: found nothing; allowed: the name of a service`]
      : []),
  ]);
}

function checkKeys(configuration: Configuration): string[] {
  return Object.entries(configuration.keys).flatMap(([name, key]) =>
    checkName(`keys.${name.slice(0, 8)}.workspace`, key.workspace, configuration.workspaces),
  );
}
