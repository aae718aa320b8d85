import type { Controller } from '../controllers/controller.js';

/** Gives the state of every controller under its name. */
export const dumpControllers = (controllers: readonly Controller[]): Record<string, unknown> =>
  Object.fromEntries(controllers.map((controller) => [controller.name, controller.dump()]));
