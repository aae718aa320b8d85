/** Orders to engines to load weights. */
export { LoadOrderSender } from './loadOrderSender.js';
export { LoadOrdersController } from './loadOrdersController.js';
export type { LoadOrdersOptions } from './loadOrdersController.js';
export * from './httpLoadOrderSender.js';
