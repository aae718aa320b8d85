/** Orders to engines to load weights. */
export { LoadOrderSender } from './orderSender.js';
export { OrdersController } from './ordersController.js';
export type { LoadOrdersOptions } from './ordersController.js';
export * from './httpOrderSender.js';
