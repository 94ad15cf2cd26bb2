/**
 * Steps for the age of an entry's state.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  mustAskStore,
  planStatePace,
} from "@bamboolane/steering/plan_state_pace";
import { StateAge, STORE_SOURCE } from "@bamboolane/steering/state_age";
import { StoreClock } from "@bamboolane/steering/store_clock";

/** The store's clock started this long before the entry's. */
const STORE_AHEAD_MILLIS = 70_000;
const NOW_MILLIS = 10_000;

let clock: StoreClock;
let answerAgeMillis: number;
let age: StateAge;

/** Age of an answer that arrives now, sent `delayMillis` ago. */
function ageOfAnswer(callMillis: number, delayMillis: number | undefined) {
  return NOW_MILLIS - clock.answeredAtMillis({
    storeMillis: delayMillis === undefined
      ? undefined
      : NOW_MILLIS + STORE_AHEAD_MILLIS - delayMillis,
    askedAtMillis: NOW_MILLIS - callMillis,
    receivedAtMillis: NOW_MILLIS,
  });
}

Given("answers of the store that took {int} ms each", (delayMillis: number) => {
  clock = new StoreClock();
  for (let atMillis = 1000; atMillis < NOW_MILLIS; atMillis += 1000) {
    clock.answeredAtMillis({
      storeMillis: atMillis + STORE_AHEAD_MILLIS - delayMillis,
      askedAtMillis: atMillis - delayMillis,
      receivedAtMillis: atMillis,
    });
  }
});

When(
  "an answer to a call of {int} ms arrives {int} ms late",
  (callMillis: number, lateMillis: number) => {
    answerAgeMillis = ageOfAnswer(callMillis, 10 + lateMillis);
  },
);

Then(
  "it was true {int} ms before it arrived",
  (millis: number) => assert.equal(answerAgeMillis, millis),
);

Then(
  "an answer without a clock to a call of {int} ms was true {int} ms before it arrived",
  (callMillis: number, millis: number) =>
    assert.equal(ageOfAnswer(callMillis, undefined), millis),
);

Given(
  "a state that the store confirmed {int} ms ago, and an entry {int} ms ago",
  (storeMillis: number, entryMillis: number) => {
    age = new StateAge();
    age.confirm(NOW_MILLIS - storeMillis, STORE_SOURCE);
    age.confirm(NOW_MILLIS - entryMillis, "e2");
  },
);

Then(
  "its age is {int} ms, and {int} ms by the store",
  (millis: number, storeMillis: number) => {
    assert.equal(age.millis(NOW_MILLIS), millis);
    assert.equal(age.millisByStore(NOW_MILLIS), storeMillis);
    assert.equal(age.source, "e2");
  },
);

Then(
  /^an entry with a state of (\d+) ms that asked (\d+) ms ago with (\d+) failures asks (never|at times|always)$/,
  (ageText: string, asked: string, failures: string, expected: string) => {
    const pace = planStatePace(2500);
    const answers = [0, 0.999].map((random) =>
      mustAskStore(pace, {
        ageMillis: Number(ageText),
        sinceAskedMillis: Number(asked),
        failures: Number(failures),
        random,
      })
    );
    const all = answers.every((answer) => answer);
    const any = answers.some((answer) => answer);
    assert.equal(all ? "always" : any ? "at times" : "never", expected);
  },
);
