/**
 * Paces bytes to other regions by the link budgets of the configuration.
 */
import { LinkBudget } from "@bamboolane/route/link_budget";
import type { FleetConfig, Lane } from "@bamboolane/types/fleet";
import type { EntryContext } from "./context.ts";

/** Paces what this instance sends to each region. */
export class LinkPacer {
  readonly #context: EntryContext;
  readonly #budgets = new Map<string, LinkBudget>();

  constructor(context: EntryContext) {
    this.#context = context;
  }

  /** Applies link rates; `sharers` instances of this region divide each link. */
  configure(fleet: FleetConfig, options: { sharers: number }): void {
    const own = this.#context.settings.instance.region;
    for (const link of fleet.links) {
      if (!link.between.includes(own)) continue;
      const other = link.between[0] === own ? link.between[1] : link.between[0];
      const bytesPerSecond = link.bytesPerSecond / Math.max(1, options.sharers);
      const known = this.#budgets.get(other);
      if (known) known.setRate(bytesPerSecond);
      else {
        const nowMillis = this.#context.clock.nowMillis();
        this.#budgets.set(other, new LinkBudget({ bytesPerSecond, nowMillis }));
      }
    }
  }

  /** Resolves when `bytes` may be sent to `region`. */
  async pass(
    bytes: number,
    lane: Lane,
    options: { region: string },
  ): Promise<void> {
    const { region } = options;
    const budget = this.#budgets.get(region);
    if (
      budget === undefined || region === this.#context.settings.instance.region
    ) return;
    for (;;) {
      const wait = budget.take(bytes, lane, {
        nowMillis: this.#context.clock.nowMillis(),
      });
      if (wait === 0) break;
      await new Promise((resolve) => setTimeout(resolve, wait));
    }
    this.#context.metrics.count("bamboolane_link_bytes", bytes, {
      region,
      lane,
    });
  }
}
