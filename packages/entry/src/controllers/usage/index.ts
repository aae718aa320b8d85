/** Usage of the fleet by client accounts. */
export { UsageController } from './usageController.js';
export type { UsageOptions } from './usageController.js';
