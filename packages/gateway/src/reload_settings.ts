/**
 * Applies settings that changed while the process runs. Addresses and the
 * identity of the instance are fixed for the life of a process.
 */
import type { GatewaySettings } from "./gateway_settings.ts";

/** Settings that take effect without a restart. */
const RELOADABLE_SETTINGS = [
  "seeds",
  "dataCentres",
  "graceMillis",
  "lookupTtlMillis",
  "retryBudget",
] as const satisfies readonly (keyof GatewaySettings)[];

/** Result of a reload. */
export interface ReloadResult {
  /** Settings that took effect. */
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
    if ((RELOADABLE_SETTINGS as readonly string[]).includes(name)) {
      Object.assign(settings, { [name]: next[name] });
      result.changed.push(name);
    } else result.ignored.push(name);
  }
  return result;
}
