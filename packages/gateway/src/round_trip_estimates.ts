/**
 * Round-trip times to data centres, estimated from the time that new connections
 * take to establish; before the first one, from the distance.
 */
import { MovingAverage } from "@bamboolane/steering/moving_average";
import type { TargetState } from "@bamboolane/steering/target_state";
import type { GatewaySettings } from "./gateway_settings.ts";

/** Estimates before the first measurement, by distance. */
const INITIAL_RTT_MILLIS = { same: 1, near: 3, far: 100 } as const;
const SAMPLE_WEIGHT = 0.1;
/** Longer connection times are due to lost packets, not to distance. */
const MAX_SAMPLE_MILLIS = 400;

/** Round-trip estimates of one entry. */
export class RoundTripEstimates {
  readonly #settings: GatewaySettings;
  readonly #byDataCentre = new Map<string, MovingAverage>();

  constructor(settings: GatewaySettings) {
    this.#settings = settings;
  }

  estimateMillis(target: TargetState): number {
    return this.#average(target.record.dataCentre).read();
  }

  addSample(dataCentre: string, millis: number): void {
    if (millis <= MAX_SAMPLE_MILLIS) this.#average(dataCentre).add(millis);
  }

  #average(dataCentre: string): MovingAverage {
    let average = this.#byDataCentre.get(dataCentre);
    if (average === undefined) {
      average = new MovingAverage(
        SAMPLE_WEIGHT,
        this.#initialMillis(dataCentre),
      );
      this.#byDataCentre.set(dataCentre, average);
    }
    return average;
  }

  #initialMillis(dataCentre: string): number {
    const { instance, dataCentres } = this.#settings;
    if (dataCentre === instance.dataCentre) return INITIAL_RTT_MILLIS.same;
    return dataCentres[dataCentre] === instance.region
      ? INITIAL_RTT_MILLIS.near
      : INITIAL_RTT_MILLIS.far;
  }
}
