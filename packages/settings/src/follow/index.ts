/** Settings on their way to every instance: rising revisions only. */
export {
  SettingsFollower,
  SettingsOrigin,
  type FollowerOptions,
} from './follower.js';
