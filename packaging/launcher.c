/* Runs the program from the archive appended to this executable.
 *
 * The standard library and the packages are read from the archive by
 * zipimport; _boot.py loads the extension modules through memfd_create.
 * Nothing is unpacked to disk and no child process is started.
 */
#include <Python.h>
#include <dlfcn.h>
#include <stdio.h>
#include <unistd.h>

/* Loads a shared library with global symbols, so that the extension modules
 * loaded later can link to it by name. */
static PyObject *preload(PyObject *module, PyObject *args) {
  const char *path;
  if (!PyArg_ParseTuple(args, "s", &path)) return NULL;
  if (dlopen(path, RTLD_NOW | RTLD_GLOBAL) == NULL) {
    PyErr_SetString(PyExc_ImportError, dlerror());
    return NULL;
  }
  Py_RETURN_NONE;
}

static PyMethodDef methods[] = {
    {"preload", preload, METH_VARARGS, "Load a shared library."},
    {NULL, NULL, 0, NULL},
};

static struct PyModuleDef definition = {
    PyModuleDef_HEAD_INIT, "_preload", NULL, -1, methods,
};

static PyObject *create_preload_module(void) { return PyModule_Create(&definition); }

static const char *BOOT =
    "import sys, zipimport\n"
    "sys.modules['_boot'] = boot = "
    "zipimport.zipimporter(sys.path[0]).load_module('_boot')\n"
    "boot.install(sys.path[0])\n"
    "from burdockledge.cli import main\n"
    "raise SystemExit(main(sys.argv[1:]))\n";

int main(int argc, char **argv) {
  char self[4096];
  ssize_t length = readlink("/proc/self/exe", self, sizeof(self) - 1);
  if (length < 0) {
    perror("readlink /proc/self/exe");
    return 1;
  }
  self[length] = '\0';

  if (PyImport_AppendInittab("_preload", create_preload_module) < 0) return 1;
  PyPreConfig preconfig;
  PyPreConfig_InitIsolatedConfig(&preconfig);
  preconfig.utf8_mode = 1;
  PyStatus status = Py_PreInitialize(&preconfig);
  if (PyStatus_Exception(status)) Py_ExitStatusException(status);

  PyConfig config;
  PyConfig_InitIsolatedConfig(&config);
  config.site_import = 0;
  config.write_bytecode = 0;
  config.parse_argv = 0;
  config.module_search_paths_set = 1;
  status = PyConfig_SetBytesArgv(&config, argc, argv);
  if (PyStatus_Exception(status)) Py_ExitStatusException(status);
  wchar_t *path = Py_DecodeLocale(self, NULL);
  status = PyWideStringList_Append(&config.module_search_paths, path);
  if (PyStatus_Exception(status)) Py_ExitStatusException(status);
  status = PyConfig_SetString(&config, &config.executable, path);
  if (PyStatus_Exception(status)) Py_ExitStatusException(status);
  status = Py_InitializeFromConfig(&config);
  if (PyStatus_Exception(status)) Py_ExitStatusException(status);
  PyConfig_Clear(&config);
  int code = PyRun_SimpleString(BOOT);
  return Py_FinalizeEx() < 0 ? 120 : code != 0;
}
