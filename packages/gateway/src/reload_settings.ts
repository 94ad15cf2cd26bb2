/**
 * Takes over settings that changed while the process runs. Addresses and the
 * instance's identity are fixed for a process's life.
 */
import type { GatewaySettings } from "./gateway_settings.ts";

/** Settings that take effect without a restart. */
const changeable = [
  "seeds",
  "dataCentres",
  "graceMillis",
  "lookupTtlMillis",
  "retryBudget",
] as const satisfies readonly (keyof GatewaySettings)[];

/** What a reload did. */
export interface ReloadResult {
  /** Settings in force from now on. */
  changed: string[];
  /** Settings that need a restart. */
  ignored: string[];
}

/** Copies changed values of `next` into `settings`. */
export function reloadSettings(
  settings: GatewaySettings,
  next: GatewaySettings,
): ReloadResult {
  const result: ReloadResult = { changed: [], ignored: [] };
  const names = Object.keys(next) as (keyof GatewaySettings)[];
  for (const name of names) {
    if (JSON.stringify(settings[name]) === JSON.stringify(next[name])) continue;
    if ((changeable as readonly string[]).includes(name)) {
      Object.assign(settings, { [name]: next[name] });
      result.changed.push(name);
    } else result.ignored.push(name);
  }
  return result;
}
