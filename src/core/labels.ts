/**
 * Labels on models and endpoints, and the selectors over them.
 */

/** Labels of one thing, by name. */
export type Labels = Readonly<Record<string, string>>;

/** For each label name, the values that are allowed. */
export type Selector = Readonly<Record<string, readonly string[]>>;

/**
 * Checks labels against a selector: every named label must be there with an allowed value.
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
 * Joins the labels of a model with those of the endpoint that serves it; the endpoint's win.
 *
 * @example
 * mergeLabels({ tier: "a" }, { tier: "b" }); // { tier: "b" }
 */
export function mergeLabels(model: Labels, endpoint: Labels): Labels {
  return { ...model, ...endpoint };
}
