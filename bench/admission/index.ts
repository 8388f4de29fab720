export {measureAdmission, type AdmissionTimes} from './measureAdmission.js';
