/** Orders to engines. */
export { OrderSender } from './orderSender.js';
export { OrdersController } from './ordersController.js';
export type { OrdersOptions } from './ordersController.js';
export * from './httpOrderSender.js';
