/**
 * Labels of models and endpoints, and selectors that match them.
 */

/** Labels of a model or an endpoint, by name. */
export type Labels = Readonly<Record<string, string>>;

/** For each required label, its allowed values. */
export type Selector = Readonly<Record<string, readonly string[]>>;

/**
 * Checks labels against a selector: each label named by the selector must be present with an
 * allowed value.
 *
 * @example
 * matchesSelector({ region: ["nizwa"] }, { region: "nizwa" }); // true
 */
export function matchesSelector(selector: Selector, labels: Labels): boolean {
  return Object.entries(selector).every(([name, allowed]) => {
    const value = labels[name];
    return value !== undefined && allowed.includes(value);
  });
}

/**
 * Merges the labels of a model with those of the endpoint that serves it; the endpoint's take
 * precedence.
 *
 * @example
 * mergeLabels({ tier: "a" }, { tier: "b" }); // { tier: "b" }
 */
export function mergeLabels(model: Labels, endpoint: Labels): Labels {
  return { ...model, ...endpoint };
}
