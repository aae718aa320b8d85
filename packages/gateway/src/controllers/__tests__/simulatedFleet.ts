import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { vi } from 'vitest';
import { createRandomGenerator } from '@goldcrestscale/core';
import { SimulatedStore } from './simulatedStore.js';
import { LINK_DELAY_MS, SimulatedVm } from './simulatedVm.js';
import type { WindowFactory } from './simulatedVm.js';

const VMS = 5;
const RELAYS = 2;
const PARTS = 12;
const STEP_MS = 20;
const MAX_LINK_DELAY_MS = 6_000;
const MAX_TROUBLE_MS = 5_000;
const MAX_DOWN_MS = 400;

/** Steps between two events of a kind, on the average. */
const STEPS_PER_CRASH = 400;
const STEPS_PER_NEW_RELAY = 400;
const STEPS_PER_NEW_VM = 300;
const STEPS_PER_LINK_TROUBLE = 150;
const STEPS_PER_REQUEST = 3;

/** VMs that share a store, two of which read it, in a random order of events. */
export class SimulatedFleet {
  readonly store = new SimulatedStore();

  private readonly random;

  private readonly vms: SimulatedVm[] = [];

  constructor(
    seed: number,
    private readonly createWindow: WindowFactory,
  ) {
    this.random = createRandomGenerator(seed);
    while (this.vms.length < VMS) this.vms.push(this.createVm());
    this.vms.slice(0, RELAYS).forEach((vm) => vm.lead());
    this.vms.slice(RELAYS).forEach((vm) => this.followAny(vm));
  }

  async play(durationMs: number): Promise<void> {
    for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) {
      this.vms.forEach((vm) => this.isDue(STEPS_PER_REQUEST) && this.sendRequest(vm));
      if (this.isDue(STEPS_PER_CRASH)) this.crashStore();
      if (this.isDue(STEPS_PER_NEW_RELAY)) this.replaceRelay();
      if (this.isDue(STEPS_PER_NEW_VM)) this.replaceVm();
      if (this.isDue(STEPS_PER_LINK_TROUBLE)) this.disturbLink();
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
    this.vms.forEach((vm) => vm.stop());
    await vi.advanceTimersByTimeAsync(2 * MAX_LINK_DELAY_MS);
  }

  private createVm(): SimulatedVm {
    return new SimulatedVm(this.store, this.createWindow, (changes, from) =>
      this.vms.filter(({ relay }) => relay === from).forEach((vm) => vm.receive(changes)),
    );
  }

  private draw(min: number, max: number): number {
    return uniformInt(this.random, min, max);
  }

  private pick(vms: readonly SimulatedVm[]): SimulatedVm {
    return vms[this.draw(0, vms.length - 1)]!;
  }

  private isDue(steps: number): boolean {
    return this.draw(1, steps) === 1;
  }

  private followAny(vm: SimulatedVm): void {
    vm.follow(this.pick(this.vms.filter((other) => other.isReader && other !== vm)));
  }

  /** Has a part fetched or saved, as an attempt at an engine does. */
  private sendRequest(vm: SimulatedVm): void {
    const partId = String(this.draw(0, PARTS - 1));
    vm.fetch(partId, { delayMs: this.draw(0, 300), durationMs: this.draw(10, 600) });
    vm.save(partId, { delayMs: this.draw(0, 100), durationMs: this.draw(100, 1_500) });
  }

  private crashStore(): void {
    if (this.store.isDown) return;
    this.store.crash();
    setTimeout(() => this.store.restart(), this.draw(0, MAX_DOWN_MS));
  }

  /** Makes another VM a relay in place of one, whose followers go on with any. */
  private replaceRelay(): void {
    const left = this.pick(this.vms.filter(({ isReader }) => isReader));
    this.pick(this.vms.filter(({ isReader }) => !isReader)).lead();
    left.isReader = false;
    [left, ...this.vms.filter(({ relay }) => relay === left)].forEach((vm) => this.followAny(vm));
  }

  /** Starts a VM in place of a follower. */
  private replaceVm(): void {
    const left = this.pick(this.vms.filter(({ isReader }) => !isReader));
    left.stop();
    const vm = this.createVm();
    this.vms.splice(this.vms.indexOf(left), 1, vm);
    this.followAny(vm);
  }

  /** Holds up what a follower gets, or cuts it off from its relay. */
  private disturbLink(): void {
    const vm = this.pick(this.vms.filter(({ isReader }) => !isReader));
    if (this.isDue(2)) {
      vm.linkDelayMs = this.draw(LINK_DELAY_MS, MAX_LINK_DELAY_MS);
      setTimeout(
        () => {
          vm.linkDelayMs = LINK_DELAY_MS;
        },
        this.draw(0, MAX_TROUBLE_MS),
      );
      return;
    }
    vm.loseRelay();
    setTimeout(
      () => {
        const isAlone = this.vms.includes(vm) && !vm.isReader && !vm.relay;
        if (isAlone) this.followAny(vm);
      },
      this.draw(0, MAX_TROUBLE_MS),
    );
  }
}
