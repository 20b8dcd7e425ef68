/** Distributes settings to every instance; revisions never decrease. */
export {
  SettingsFollower,
  SettingsOrigin,
  type FollowerOptions,
} from './follower.js';
