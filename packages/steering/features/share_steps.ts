/**
 * Steps about the share of a region's objects that other regions run.
 */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { PeerShares } from "@bamboolane/steering/peer_shares";
import {
  initialRemoteShare,
  RemoteShare,
} from "@bamboolane/steering/remote_share";

let share: RemoteShare;

Given("a region with a sixth of the slots at full load", () => {
  share = new RemoteShare();
});

Then(
  "its share of homes elsewhere grows by at most {float} in any 2 seconds",
  (most: number) => {
    const shares: number[] = [];
    for (let i = 0; i < 600; i++) {
      share.update(
        { inFlight: 9, slots: 6 },
        { inFlight: 3, slots: 30 },
        { nowMillis: i * 50, peerMeanShare: undefined, initialShare: 0 },
      );
      shares.push(share.share);
    }
    assert.ok(shares[shares.length - 1] > 0.5, `${shares.at(-1)}`);
    for (let i = 40; i < shares.length; i++) {
      assert.ok(shares[i] - shares[i - 40] <= most + 1e-9);
    }
  },
);

const calm = { inFlight: 4, slots: 6 };
let prior = 0;

Given("a region with a third of the entries and a sixth of the slots", () => {
  prior = initialRemoteShare({ local: 4, all: 12 }, { local: 6, all: 36 });
});

When("its entries start together", () => {
  share = new RemoteShare();
  share.update(calm, calm, {
    nowMillis: 0,
    peerMeanShare: undefined,
    initialShare: prior,
  });
});

Then("half of its homes are elsewhere at once", () => {
  assert.equal(share.share, 0.5);
  const even = initialRemoteShare({ local: 4, all: 12 }, {
    local: 12,
    all: 36,
  });
  assert.equal(
    even,
    0,
    "a region with its part of the slots keeps its objects",
  );
});

const shares: number[] = [];

When("requests come before the list of entries is read", () => {
  share = new RemoteShare();
  shares.length = 0;
  for (const known of [undefined, undefined, prior]) {
    share.update(calm, calm, {
      nowMillis: 0,
      peerMeanShare: undefined,
      initialShare: known,
    });
    shares.push(share.share);
  }
});

Then(
  "the share is {int} until then and {float} as soon as it is known",
  (before: number, after: number) => {
    assert.deepEqual(shares, [before, before, after]);
  },
);

let agreedShares: PeerShares;

Given(
  "entries of a region that keep a share of {float} elsewhere",
  (told: number) => {
    agreedShares = new PeerShares();
    for (const source of ["a", "b"]) {
      agreedShares.setShares(source, new Map([["s", told]]), 60_000);
    }
  },
);

When(
  "another entry starts that would begin with {float}",
  (ownPrior: number) => {
    share = new RemoteShare();
    prior = ownPrior;
    updateAgreed(0);
  },
);

function updateAgreed(nowMillis: number): void {
  // This entry alone believes that the region has room.
  share.update({ inFlight: 1, slots: 6 }, calm, {
    nowMillis,
    peerMeanShare: agreedShares.mean("s", nowMillis),
    initialShare: prior,
  });
}

Then(
  "its share is {float} and stays within {float} of theirs under the same load",
  (told: number, most: number) => {
    assert.equal(share.share, told);
    for (let nowMillis = 50; nowMillis < 20_000; nowMillis += 50) {
      updateAgreed(nowMillis);
      assert.ok(Math.abs(share.share - told) <= most + 1e-9, `${share.share}`);
    }
    assert.equal(agreedShares.mean("s", 60_000), undefined);
  },
);
