import type { Controller } from '../controllers/controller.js';

/** Collects the state of all controllers by name. */
export const dumpControllers = (controllers: readonly Controller[]): Record<string, unknown> =>
  Object.fromEntries(controllers.map((controller) => [controller.name, controller.dump()]));
