/**
 * Round-trip times to data centres, learned from how long connections take to
 * be made. Unknown ones are guessed by distance.
 */
import { MovingAverage } from "@bamboolane/steering/moving_average";
import type { TargetState } from "@bamboolane/steering/target_state";
import type { GatewaySettings } from "./gateway_settings.ts";

/** Guesses before the first measurement. Unit: milliseconds. */
const guessMillis = { same: 1, near: 3, far: 100 } as const;
const sampleWeight = 0.1;
/** Longer connects are a matter of lost packets, not of distance. */
const mostSampleMillis = 400;

/** Learned round trips of one entry. */
export class RoundTripEstimates {
  readonly #settings: GatewaySettings;
  readonly #byDataCentre = new Map<string, MovingAverage>();

  constructor(settings: GatewaySettings) {
    this.#settings = settings;
  }

  read(target: TargetState): number {
    return this.#average(target.record.dataCentre).read();
  }

  note(dataCentre: string, millis: number): void {
    if (millis <= mostSampleMillis) this.#average(dataCentre).add(millis);
  }

  #average(dataCentre: string): MovingAverage {
    let average = this.#byDataCentre.get(dataCentre);
    if (average === undefined) {
      average = new MovingAverage(sampleWeight, this.#guess(dataCentre));
      this.#byDataCentre.set(dataCentre, average);
    }
    return average;
  }

  #guess(dataCentre: string): number {
    const { instance, dataCentres } = this.#settings;
    if (dataCentre === instance.dataCentre) return guessMillis.same;
    return dataCentres[dataCentre] === instance.region
      ? guessMillis.near
      : guessMillis.far;
  }
}
